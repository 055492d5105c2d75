"""The xDS protocol: resources, ADS sessions of both variants and load reports. docs/design/xds.md has the mapping."""
