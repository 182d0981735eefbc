"""Choice of workers for waiting steps, and of runs that give way."""
