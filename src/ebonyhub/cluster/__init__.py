"""What the entry processes share: the store, leadership, the mirror and peers."""
