"""A fault soak: real entry hosts before stand-ins, with faults from outside."""
