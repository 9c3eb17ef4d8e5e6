"""Fleet management: moves VMs between pools and runs maintenance waves."""
