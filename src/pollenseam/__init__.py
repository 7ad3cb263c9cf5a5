"""Global traffic steering: daemons, a tool and a library for coordination."""

__version__ = "0.1.0"
