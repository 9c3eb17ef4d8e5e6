"""Load shedding by cost: what is accepted and refused when capacity is short."""
