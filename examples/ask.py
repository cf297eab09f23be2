"""Asks the entry of the trial for a streamed answer and prints it as it arrives."""

import json
import sys

import urllib3

URL = "http://127.0.0.1:8080/v1/chat/completions"
API_KEY = "demo-key"


def main(prompt: str) -> int:
    """Ask once.

    :returns: 0 when the answer was whole.
    """
    body = {"model": "writer", "stream": True, "messages": [{"role": "user", "content": prompt}]}
    response = urllib3.request(
        "POST",
        URL,
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"},
        preload_content=False,
    )
    print(f"status {response.status}, request id {response.headers['X-Request-Id']}")
    whole = False
    for line in response:
        sys.stdout.write(line.decode())
        sys.stdout.flush()
        whole = whole or line.startswith(b"data: [DONE]")
    return 0 if whole else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
