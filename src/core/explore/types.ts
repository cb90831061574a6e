/** A model whose every order of actions is to be tried. */

export type Model<State, Action> = {
	readonly initial: State;
	/** Actions that are possible in a state. */
	readonly actions: (state: State) => readonly Action[];
	readonly apply: (state: State, action: Action) => State;
	/** What is wrong with a state, or nothing. */
	readonly findViolation: (state: State) => string | undefined;
	/** Equal for states that behave alike from here on. */
	readonly key: (state: State) => string;
};

export type Violation<Action> = {
	readonly message: string;
	/** The shortest sequence of actions that leads to the fault. */
	readonly trace: readonly Action[];
};

export type Exploration<Action> = {
	/** Distinct states reached, the initial one included. */
	readonly states: number;
	/** Actions tried. */
	readonly transitions: number;
	/** Actions in a row up to which all orders were tried. */
	readonly depth: number;
	readonly violation: Violation<Action> | undefined;
};
