import { asId } from '@berylwood/base';
import type { OrderAction } from '@berylwood/schema';
import { Command } from 'commander';
import {
  addChangeOptions,
  addOperatorOptions,
  callControl,
  resolveChangeId,
  print,
  type OperatorOptions,
} from './operatorOptions';

async function recordOrder(action: OrderAction, options: OperatorOptions): Promise<void> {
  const change = await resolveChangeId(options);
  // The order id is derived from the change id, so that a resend refers to the same order.
  const order = asId<'order'>(`ord-${change}`);
  await callControl(options, (client) => client.intendOrder.mutate({ change, order, action }));
  print(options, { change, order }, `${order} is recorded`);
}

/** Creates the command `orders list|start|stop|load`. @internal */
export function ordersCommand(): Command {
  const orders = new Command('orders').description('orders to the platform and to engines');
  addOperatorOptions(orders.command('list', { isDefault: true }))
    .description('the latest orders with their steps')
    .action(async (options: OperatorOptions) => {
      const listed = await callControl(options, (client) => client.orders.query());
      const lines = listed.map(({ order, step, sends, action }) =>
        [order, step, `sent ${sends} times`, JSON.stringify(action)].join(' '),
      );
      print(options, listed, lines.join('\n'));
    });
  addChangeOptions(orders.command('start <data-centre> <model>'))
    .description('order an endpoint of the platform')
    .action((dataCentre: string, model: string, options: OperatorOptions) =>
      recordOrder({ type: 'start', dataCentre: asId(dataCentre), model }, options),
    );
  addChangeOptions(orders.command('stop <endpoint>'))
    .description('order the end of an endpoint; it is drained first')
    .action((endpoint: string, options: OperatorOptions) =>
      recordOrder({ type: 'stop', endpoint: asId(endpoint) }, options),
    );
  addChangeOptions(orders.command('load <endpoint> <model>'))
    .description('order an engine to load a model')
    .action((endpoint: string, name: string, options: OperatorOptions) =>
      recordOrder({ type: 'load', endpoint: asId(endpoint), kind: 'model', name }, options),
    );
  return orders;
}
