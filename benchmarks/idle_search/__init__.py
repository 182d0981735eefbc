"""Random days on a simulated fleet, judged by what the minions run."""
