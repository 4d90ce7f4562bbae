#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/6/case.mjs
