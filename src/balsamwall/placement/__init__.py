"""Demand forecast, model placement and permits for weight loads."""

from __future__ import annotations
