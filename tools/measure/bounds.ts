/** Bounds that the figures of an experiment must meet. */
import {type Figures} from './figures.js';

type Bound = {
	readonly figure: string;
	readonly isMet: (value: number) => boolean;
	readonly text: string;
	/** Experiments to which the bound applies; all if absent. */
	readonly only?: readonly string[];
};

/** Experiments in which all teams are backlogged and no target, router or link fails. */
const BACKLOGGED = ['steady', 'flood', 'skew', 'heavy-tail', 'platform-outage'];

export const bounds: readonly Bound[] = [
	{figure: 'fairness_gap_max', isMet: value => value <= 4, text: 'at most 4 largest requests'},
	{
		figure: 'worst_team_share', isMet: value => value >= 0.9, text: 'at least 0.9', only: ['steady', 'flood', 'skew'],
	},
	{figure: 'starved_windows', isMet: value => value === 0, text: 'none'},
	{
		figure: 'utilisation', isMet: value => value >= 0.95, text: 'at least 0.95', only: [...BACKLOGGED, 'data-centre-leaves'],
	},
	...['lost', 'doubled', 'crossed', 'false_not_run', 'cold_violations', 'late_new_work'].map(figure => ({
		figure, isMet: (value: number) => value === 0, text: 'none',
	})),
	{
		figure: 'control_bytes_per_request', isMet: value => value <= 165, text: 'at most 165', only: ['unqueued'],
	},
];

export type Verdict = {readonly figure: string; readonly value: number; readonly text: string; readonly isMet: boolean};

/** Compares an experiment's figures with the bounds that apply to it. */
export const verdictsOf = (experiment: string, figures: Figures): readonly Verdict[] =>
	bounds.filter(({only}) => !only || only.includes(experiment)).map(({figure, isMet, text}) => {
		const value = Number(figures[figure]);
		return {
			figure, value, text, isMet: isMet(value),
		};
	});
