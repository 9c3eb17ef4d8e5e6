"""Capacity and maintenance of pools: moves between pools and upkeep waves."""
