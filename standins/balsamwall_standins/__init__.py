"""Stand-ins for the external systems, for tests and local runs."""

from __future__ import annotations
