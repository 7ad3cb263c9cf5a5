"""The bench."""
