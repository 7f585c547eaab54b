"""The archive: logs and artefacts of every attempt, kept after its worker is gone."""
