"""Templates, workspace parameters and their dissemination."""

from __future__ import annotations
