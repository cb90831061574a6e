import test from 'ava';
import {FleetConfigInvalid} from '../../src/core/errors/errors-data.js';
import {isError, JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';

test('an error keeps its name, message and details when it is cloned between threads', t => {
	const err = new JackdawwoodError(FleetConfigInvalid, {version: 3, fault: 'no name'}, new RangeError('cause'));
	t.like(structuredClone(err), {
		name: 'FleetConfigInvalid', message: 'Fleet configuration 3 is not valid: no name.: cause', details: {version: 3, fault: 'no name'},
	});
	t.true(isError(err, FleetConfigInvalid));
});
