import test from 'ava';
import {parseAddress} from '../../src/runtime/router/parse-address.js';

test('an address is parsed into host and port, also with port 80 and with IPv6', t => {
	t.deepEqual(parseAddress('10.0.0.1:80'), {host: '10.0.0.1', port: 80});
	t.deepEqual(parseAddress('[::1]:8082'), {host: '::1', port: 8082});
});
