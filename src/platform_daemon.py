"""Launcher of the platform's entry; it stands beside the package.

Python puts the folder of a script first on its path, so that the script must
not stand in a folder with a package named platform.
"""

from __future__ import annotations

import sys

from balsamwall.platform import daemon

if __name__ == "__main__":
    sys.exit(daemon.main())
