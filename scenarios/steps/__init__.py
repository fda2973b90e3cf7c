"""Steps of the scenario language."""
