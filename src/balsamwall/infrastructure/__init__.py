"""Clients of the key-value service and of the VM list."""

from __future__ import annotations
