"""Sends a chat request to the trial's entry and prints the streamed response as it arrives."""

import json
import sys

import urllib3

URL = "http://127.0.0.1:8080/v1/chat/completions"
API_KEY = "demo-key"


def main(prompt: str) -> int:
    """Send one request.

    :returns: 0 when the response was complete.
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
    complete = False
    for line in response:
        sys.stdout.write(line.decode())
        sys.stdout.flush()
        complete = complete or line.startswith(b"data: [DONE]")
    return 0 if complete else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
