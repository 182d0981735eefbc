"""Scheduler for multi-accelerator jobs under workspace guarantees."""

__all__ = ('__version__',)

__version__ = '0.1.0'
