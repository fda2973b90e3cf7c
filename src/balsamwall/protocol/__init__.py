"""Internal protocol between the daemons of a deployment."""

from __future__ import annotations
