"""Manages the capacity and the maintenance of a fleet of VMs."""

__version__ = "0.1.0"
