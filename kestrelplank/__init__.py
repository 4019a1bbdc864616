"""kestrelplank: an assigner that tells forwarding proxies where work goes."""
