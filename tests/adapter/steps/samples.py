"""A valid configuration and a valid entry in the platform's formats."""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "One.example",
            "pathPrefix": "/chat/",
            "type": "stream",
            "timeoutMs": 15_000,
            "goalMs": 800,
            "priority": 1,
            "split": [
                {"service": "model", "weight": 90},
                {"service": "other", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapGoalMs": 400,
        },
        {
            "name": "order",
            "host": "one.example",
            "pathPrefix": "/order/",
            "type": "unsafe",
            "timeoutMs": 1_000,
            "goalMs": 150,
            "service": "shop",
            "maxAttempts": 1,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "model",
            "healthPath": "/healthz",
            "maxConns": 720,
            "engine": {"slots": 64, "kvCapacity": 600_000},
        },
        {"name": "shop", "healthPath": "/healthz", "maxConns": 192},
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": "orto", "apiKeys": ["k1", "k2"], "priority": 1}],
}
ENDPOINT_ENTRY = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "here",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
