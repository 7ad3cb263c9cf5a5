"""The daemon, with connects to upstreams cut by `cutconnects`."""

import cutconnects

from pollenseam import daemon

if __name__ == "__main__":
    cutconnects.install()
    daemon.main()
