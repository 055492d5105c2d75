"""The xDS protocol: resources, ADS sessions of both variants, load reports. The mapping is in docs/design/xds.md."""
