"""Published records as the platform writes them."""

ENTRY = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'hcm-thuduc',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'warmup_left_ms': 0,
    'sequence': 4,
    'born': 1764800000000,
}
ROUTE = {
    'name': 'r-a3hwrr6',
    'host': '198.18.0.1',
    'prefix': '/8443/',
    'type': 'safe',
    'timeout_ms': 2500,
    'target_latency_ms': 250,
    'priority': 2,
    'service': 'huvo11a',
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [],
    'limits': {'idle_timeout_ms': 12000},
}
