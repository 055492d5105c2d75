"""The xDS front: resources, streams, load reports. The mapping is in docs/design/xds.md."""
