"""Launcher of the platform entry, kept outside the balsamwall package.

Python puts the directory of a script first on sys.path. Inside the package,
balsamwall.platform would shadow the standard library's platform module.
"""

from __future__ import annotations

import sys

from balsamwall.platform import daemon

if __name__ == "__main__":
    sys.exit(daemon.main())
