"""Global traffic steering: daemons, tool and coordination parts to embed."""

__version__ = "0.1.0"
