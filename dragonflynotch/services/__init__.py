"""Services of the platform, each behind one abstract base class."""
