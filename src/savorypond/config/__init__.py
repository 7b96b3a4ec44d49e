"""Configuration: encode, read, validate, store and distribute bundles."""
