"""One holder for the loads of all engines, and its links to the entries."""

from __future__ import annotations
