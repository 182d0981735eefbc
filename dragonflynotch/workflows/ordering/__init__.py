"""Order in which waiting steps get resources."""
