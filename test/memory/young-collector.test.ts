import test from 'ava';
import {createYoungCollector} from '../../src/runtime/memory/young-collector.js';

// Guards against a start that creates a context of the runtime, which a VM with little traffic never needs.
test('the collector is loaded when the first collection is due, once', t => {
	let loads = 0;
	let collections = 0;
	const collectYoung = createYoungCollector(() => {
		loads++;
		return () => {
			collections++;
		};
	}, 100);
	collectYoung(99);
	t.deepEqual([loads, collections], [0, 0]);
	collectYoung(1);
	t.deepEqual([loads, collections], [1, 1]);
	collectYoung(250);
	collectYoung(100);
	t.deepEqual([loads, collections], [1, 3]);
});

test('a runtime without the collector is asked for it once', t => {
	let loads = 0;
	const collectYoung = createYoungCollector(() => {
		loads++;
		return undefined;
	}, 100);
	collectYoung(100);
	collectYoung(100);
	t.is(loads, 1);
});
