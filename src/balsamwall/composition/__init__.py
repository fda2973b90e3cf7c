"""Units that construct and connect the components of each daemon role."""

from __future__ import annotations
