"""Fault soak: real entry processes on loopback, with faults injected from outside."""
