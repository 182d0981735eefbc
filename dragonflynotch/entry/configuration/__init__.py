"""The configuration: store, copies and changes by operators."""
