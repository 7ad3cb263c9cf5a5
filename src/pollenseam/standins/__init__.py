"""Stand-ins for what surrounds the system, used by demo, tests and bench."""
