"""History of finished jobs: stores their final states compactly, so that the state stays small."""
