"""Coverage-guided fuzz targets for the code that reads bytes from outside. The tests replay their corpora."""
