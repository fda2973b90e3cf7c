"""Select a replica for a request."""

from __future__ import annotations
