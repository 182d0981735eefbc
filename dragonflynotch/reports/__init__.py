"""Reports from recorded metrics; not imported by the daemons."""
