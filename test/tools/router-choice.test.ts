import test from 'ava';
import {RouterChoice} from '../../tools/load/router-choice.js';

test('a router that refused a connection is skipped for a second, also for teams with only that router', t => {
	const choice = new RouterChoice(['a'], ['a', 'b'], 0);
	t.is(choice.next(0), 'a');
	choice.markDown('a', 0);
	t.deepEqual([choice.next(1), choice.next(2)], ['b', 'b']);
	t.is(choice.next(1000), 'a');
	choice.markDown('a', 2000);
	choice.markDown('b', 2000);
	t.is(new Set([choice.next(2001), choice.next(2002)]).size, 2);
});
