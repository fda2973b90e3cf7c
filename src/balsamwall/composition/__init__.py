"""Units that compose the decision objects of one role."""

from __future__ import annotations
