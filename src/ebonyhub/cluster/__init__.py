"""State shared by entry processes: store, leader election, job mirror, peer streams."""
