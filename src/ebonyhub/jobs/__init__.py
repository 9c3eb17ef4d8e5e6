"""Jobs: the specification that callers submit and the stored progress."""
