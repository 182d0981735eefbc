"""Scheduler for multi-accelerator jobs with guarantees for workspaces."""

__all__ = ('__version__',)

__version__ = '0.1.0'
