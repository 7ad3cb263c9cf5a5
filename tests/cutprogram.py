"""platform/program.py, with connects to upstreams cut by `cutconnects`."""

import cutconnects
import program

if __name__ == "__main__":
    cutconnects.install()
    program.main()
