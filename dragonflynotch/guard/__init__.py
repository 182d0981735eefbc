"""The guard daemon; one runs beside each target."""
