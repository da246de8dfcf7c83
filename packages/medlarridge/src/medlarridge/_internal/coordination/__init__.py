"""Decision logic of the processes; does no I/O."""
